package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sort"
	"time"
)

// setUp starts control hosts, nodes with an instance each, and the first configuration.
func setUp(f *fleet, work time.Duration, routes []planRoute, services []string, each int) error {
	if err := f.startControls(); err != nil {
		return err
	}
	for _, service := range services {
		for range each {
			m, err := f.addNode(service)
			if err != nil {
				return err
			}
			if err := f.addInstance(m, work).start(); err != nil {
				return err
			}
		}
	}
	f.first = false
	if err := f.putPlan(0, 1, routes, services...); err != nil {
		return err
	}
	if err := f.awaitReady(); err != nil {
		return err
	}
	// Traffic starts 8 s after the machines.
	time.Sleep(6 * time.Second)
	f.rec.add("traffic starts")
	return nil
}

func permitRoutes() []planRoute {
	return []planRoute{route("issue", "/permits/", "once", "issuing")}
}

// runRoute adds a route and sends requests whose path contains an encoded slash.
func runRoute(f *fleet, trouble bool) (bool, error) {
	if err := setUp(f, 50*time.Millisecond, permitRoutes(), []string{"issuing", "vault"}, 2); err != nil {
		return false, err
	}
	if trouble {
		if err := f.addRoutes(1, 3, []planRoute{route("tide", "/permits/2026/", "idempotent", "vault")}); err != nil {
			return false, err
		}
	}
	time.Sleep(configApply + stabilityWindow)
	var answers []answer
	for n := range 40 {
		answers = append(answers, f.ask(f.nodes[n%len(f.nodes)], http.MethodPost, fmt.Sprintf("/permits/2026%%2F%d", n), []byte("levy=paid")))
	}
	for n := range 40 {
		answers = append(answers, f.ask(f.nodes[n%len(f.nodes)], http.MethodPost, fmt.Sprintf("/permits/p%d", n), []byte("levy=paid")))
	}
	f.rec.say("answers by status: %v", statuses(answers))
	wrong, right := 0, 0
	for _, r := range f.allRuns() {
		if r.service == "vault" {
			wrong++
		} else {
			right++
		}
	}
	f.rec.say("%d requests ran at issuing, %d at vault, to which no configuration allows them to go", right, wrong)
	if right+wrong < 60 {
		return false, fmt.Errorf("only %d requests ran", right+wrong)
	}
	return wrong > 0, nil
}

// denied checks the bound on proper requests that are ended with a 4xx of the project's own.
func denied(f *fleet, answers []answer) (bool, error) {
	count := 0
	for _, a := range answers {
		own := a.stamp == "" && a.status >= 300 && a.status < 500
		if own && a.status != 408 && a.status != 421 && a.status != 429 {
			count++
		}
	}
	allowed := 5 + len(answers)/500
	f.rec.say("%d of %d proper requests were ended with a 4xx of the project's own, allowed %d", count, len(answers), allowed)
	return count > allowed, nil
}

// runLateCheckIn lets an instance leave, restarts its node, and lets a check-in from before
// arrive late.
func runLateCheckIn(f *fleet, trouble bool) (bool, error) {
	if err := setUp(f, 600*time.Millisecond, permitRoutes(), []string{"issuing"}, 10); err != nil {
		return false, err
	}
	leaver, node := f.insts[0], f.nodes[0]
	l := f.startLoad(50, f.nodes[1:], http.MethodPost, func(n int) string { return fmt.Sprintf("/permits/p%d", n) }, []byte("levy=paid"))
	time.Sleep(4 * time.Second)

	late := leaver.checkIn("ready")
	sent := time.Now()
	f.rec.add("check-in of %s sent, on its way for some seconds: %s", leaver.id, late)
	time.Sleep(200 * time.Millisecond)
	leaver.setLeaving()
	status, err := leaver.send(http.MethodDelete, nil)
	acked := time.Now()
	if err != nil || status != http.StatusOK {
		return false, fmt.Errorf("DELETE: status %d, %v", status, err)
	}
	f.rec.add("DELETE of %s acknowledged", leaver.id)
	time.Sleep(200 * time.Millisecond)
	if trouble {
		f.kill(node)
		time.Sleep(300 * time.Millisecond)
		if err := f.startProcess(node); err != nil {
			return false, err
		}
	}
	inTouch := node.started.Add(stabilityWindow)
	time.Sleep(time.Until(sent.Add(4500 * time.Millisecond)))
	status, err = leaver.send(http.MethodPut, late)
	f.rec.add("check-in of %s arrives %.1f s late: status %d, %v", leaver.id, time.Since(sent).Seconds(), status, err)
	time.Sleep(time.Until(acked.Add(4900 * time.Millisecond)))
	leaver.end("it had left")
	time.Sleep(2 * time.Second)
	answers := l.end()
	f.rec.say("answers by status: %v", statuses(answers))

	after, cut := 0, 0
	byID := map[string]answer{}
	for _, a := range answers {
		byID[a.id] = a
	}
	for _, r := range f.allRuns() {
		if r.instance != leaver.id || r.at.Before(acked.Add(drainTime)) || r.at.Before(inTouch) {
			continue
		}
		after++
		if byID[r.id].stamp == "" {
			cut++
		}
	}
	f.rec.say("%d requests reached %s later than %v after the acknowledgement, by machines in touch; %d of them were never answered", after, leaver.id, drainTime, cut)
	if len(answers) < 100 {
		return false, fmt.Errorf("only %d answers", len(answers))
	}
	return after > 0, nil
}

// runCrashingUpload repeats a request that crashes each instance that begins to run it.
func runCrashingUpload(f *fleet, trouble bool) (bool, error) {
	deadly := bytes.Repeat([]byte("deadly upload. "), 100<<10/15)
	if err := setUp(f, 300*time.Millisecond, permitRoutes(), []string{"issuing"}, 6); err != nil {
		return false, err
	}
	for _, i := range f.insts {
		i.mu.Lock()
		i.back = 2 * time.Second
		i.crashes = func(body []byte) bool { return trouble && bytes.Equal(body, deadly) }
		i.mu.Unlock()
	}
	l := f.startLoad(15, f.nodes, http.MethodPost, func(n int) string { return fmt.Sprintf("/permits/p%d", n) }, []byte("levy=paid"))
	time.Sleep(2 * time.Second)
	var resent []answer
	for n := range 20 {
		resent = append(resent, f.ask(f.nodes[n%len(f.nodes)], http.MethodPost, "/permits/deadly", deadly))
		time.Sleep(1500 * time.Millisecond)
	}
	answers := l.end()
	f.rec.say("answers to the repeated request by status: %v", statuses(resent))
	f.rec.say("answers to the other requests by status: %v", statuses(answers))
	var crashes []time.Time
	for _, i := range f.insts {
		i.mu.Lock()
		crashes = append(crashes, i.crashAt...)
		i.mu.Unlock()
	}
	sort.Slice(crashes, func(a, b int) bool { return crashes[a].Before(crashes[b]) })
	if !trouble {
		return len(crashes) > 0, nil
	}
	if len(crashes) < 2 {
		return false, fmt.Errorf("%d crashes", len(crashes))
	}
	if len(crashes) < 3 {
		f.rec.say("%d crashes", len(crashes))
		return false, nil
	}
	known := crashes[2].Add(stabilityWindow)
	retries := map[string]bool{}
	for _, r := range f.allRuns() {
		if r.uri == "/permits/deadly" {
			for _, a := range resent {
				if a.id == r.id && a.sentAt.After(known) {
					retries[r.id] = true
				}
			}
		}
	}
	cut := 0
	for _, a := range answers {
		if a.stamp == "" && a.status != 503 {
			cut++
		}
	}
	f.rec.say("%d crashes; %d retries reached instances later than %v after the third crash, allowed 3; %d other requests got no answer of their instance", len(crashes), len(retries), stabilityWindow, cut)
	return len(retries) > 3, nil
}

// runBan crashes two of fourteen instances at once, for a reason of their own, while many
// consumers ask for the same new register.
func runBan(f *fleet, trouble bool) (bool, error) {
	routes := []planRoute{route("export", "/registers/", "bulk", "vault")}
	if err := setUp(f, 700*time.Millisecond, routes, []string{"vault"}, 14); err != nil {
		return false, err
	}
	l := f.startLoad(20, f.nodes, http.MethodGet, func(n int) string { return fmt.Sprintf("/registers/r%d", n) }, nil)
	time.Sleep(2 * time.Second)
	popular := f.startLoad(30, f.nodes, http.MethodGet, func(int) string { return "/registers/tide-season-2026" }, nil)
	// All of the first copies are still running.
	time.Sleep(650 * time.Millisecond)
	if trouble {
		down := f.withRun("/registers/tide-season-2026", 2)
		if len(down) < 2 {
			return false, fmt.Errorf("fewer than two instances run the request")
		}
		for _, i := range down {
			i.mu.Lock()
			i.back = 4500 * time.Millisecond
			i.mu.Unlock()
			i.crash("on its own")
		}
	}
	time.Sleep(20 * time.Second)
	answers := append(popular.end(), l.end()...)
	f.rec.say("answers by status: %v", statuses(answers))
	return denied(f, answers)
}

// withRun returns the first n instances that have begun to run a request for the target.
func (f *fleet) withRun(target string, n int) []*instance {
	var list []*instance
	for _, i := range f.insts {
		i.mu.Lock()
		for _, r := range i.runs {
			if r.uri == target && len(list) < n {
				list = append(list, i)
				break
			}
		}
		i.mu.Unlock()
	}
	return list
}
