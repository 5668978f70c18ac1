package cli

import (
	"io"
	"os"
	"strings"

	"golang.org/x/term"
)

func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	return ok && term.IsTerminal(int(f.Fd()))
}

// terminalWidth returns the number of columns of the terminal that out writes to, 0 if out is no terminal.
func terminalWidth(out io.Writer) int {
	f, ok := out.(*os.File)
	if !ok {
		return 0
	}
	width, _, err := term.GetSize(int(f.Fd()))
	if err != nil {
		return 0
	}
	return width
}

// truncateLines shortens each line of more than width runes to width, the last of them an ellipsis. A width of 0 or
// less means no limit.
func truncateLines(text string, width int) string {
	if width <= 0 {
		return text
	}
	lines := strings.Split(text, "\n")
	for i, line := range lines {
		if runes := []rune(line); len(runes) > width {
			lines[i] = string(runes[:width-1]) + "…"
		}
	}
	return strings.Join(lines, "\n")
}
