package store

import (
	"errors"
	"testing"

	"linkpass/internal/config"
	"linkpass/internal/searchconfig"
)

// Guards against a leader that initializes the settings although another one has committed some meanwhile: the entry
// itself must be rejected, because no check before the proposal can rule this out.
func TestInitialDocumentNeverReplacesReplicatedSettings(t *testing.T) {
	f := newFSM(&searchconfig.Config{})
	window := func(n int) *searchconfig.Config {
		return &searchconfig.Config{Search: searchconfig.Defaults{MaxResultWindow: n}}
	}
	first, err := initialDocument(window(7), 1)
	if err != nil {
		t.Fatal(err)
	}
	requireSettingsApplied(t, f, first)
	second, err := initialDocument(window(storedWindow), 1)
	if err != nil {
		t.Fatal(err)
	}
	before := f.current.Load()
	if err, _ := applyData(f, second).(error); !errors.Is(err, ErrConflict) {
		t.Errorf("second initial document: error = %v, want ErrConflict", err)
	}
	if f.current.Load() != before {
		t.Errorf("max_result_window = %d, want the replicated 7", f.current.Load().Settings().MaxResultWindow())
	}
}

// A change that was built before any settings were replicated is a conflict if another instance's settings came first:
// it was built on this instance's file.
func TestChangeBuiltOnFileConflictsWithReplicatedSettings(t *testing.T) {
	m := newSingleMember(t)
	awaitLeader(t, m.store)
	if _, err := m.store.PatchSettings(t.Context(), []byte(windowPatch(7))); err != nil {
		t.Fatal(err)
	}
	patch := config.Command{Kind: config.PatchSettings, Payload: []byte(windowPatch(8))}
	file := config.NewState(m.config.InitialSettings)
	if _, err := m.store.replicateSettings(t.Context(), "patch", patch, file); !errors.Is(err, ErrConflict) {
		t.Errorf("error = %v, want ErrConflict", err)
	}
	if got := m.store.Settings().MaxResultWindow(); got != 7 {
		t.Errorf("max_result_window = %d, want 7", got)
	}
}

// The first settings of an empty log are those of the instance's own file.
func TestFirstStartTakesItsFile(t *testing.T) {
	m := newSingleMember(t)
	if got := m.store.Settings().MaxResultWindow(); got != storedWindow {
		t.Errorf("max_result_window at the start = %d, want that of the file, %d", got, storedWindow)
	}
	awaitLeader(t, m.store)
	settings, err := m.store.PatchSettings(t.Context(), []byte(searchProtocolPatch))
	if err != nil {
		t.Fatal(err)
	}
	if settings.MaxResultWindow() != storedWindow || settings.Protocol("s-1") != searchconfig.ProtocolSearch {
		t.Errorf("settings = %+v, want those of the file with the patch", settings)
	}
}
