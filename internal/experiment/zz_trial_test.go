package experiment
import ("testing";"time";"context";"fmt";"sync";"os";"strconv";"linkpass/internal/experiment/hostile")
func TestZZTrial(t *testing.T){
 isolate(t)
 progs:=builtPrograms(t)
 limits:=processLimits{memoryMB:192,sockets:1024}
 f,err:=newProcessFleet(progs.coordinator,1,limits); if err!=nil{t.Fatal(err)}
 defer f.close()
 p,err:=f.start(nil); if err!=nil{t.Fatal(err)}
 defer p.kill()
 ctx,cancel:=context.WithCancel(t.Context())
 var wg sync.WaitGroup
 began:=time.Now()
 sound:=soundLoad{addr:f.platformAddr,clients:4,pause:20*time.Millisecond,timeout:532*time.Millisecond,name:"s"}
 var res *soundResult
 wg.Go(func(){res=sound.run(ctx)})
 wg.Go(func(){ for ctx.Err()==nil { time.Sleep(time.Second); if p.hasEnded(){return}; fmt.Println(time.Since(began).Round(time.Second),"rss",p.memory("VmRSS:")>>20)}})
 time.Sleep(time.Second)
 a,_:=hostile.Find(os.Getenv("TRIAL_ATTACK"))
 conns,_:=strconv.Atoi(os.Getenv("TRIAL_CONNS"))
 stop,err:=f.startAttack(progs,plannedAttack{a,conns},1); if err!=nil{t.Fatal(err)}
 time.Sleep(14*time.Second)
 stop()
 time.Sleep(3*time.Second)
 cancel(); wg.Wait()
 fmt.Println(res)
 for _,m:=range res.missed { fmt.Println(m.name,m.sentAt.Sub(began).Round(time.Millisecond),m.status,m.took.Round(time.Millisecond)) }
 fmt.Println(p.counters())
 fmt.Println(p.log.String())
}
