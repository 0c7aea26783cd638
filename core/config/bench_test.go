package config

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
)

// largeFolder returns a folder with 4 halls, servers in files of 100, and one file
// for each workspace. The largest fleet has 810 servers and 270 workspaces.
func largeFolder(servers, workspaces int) []File {
	var b strings.Builder
	b.WriteString("lengthClasses: {short: {upTo: 8000, firstToken: 360ms}, long: {upTo: 1000000, firstToken: 4m, isolated: true}}\nhalls:\n")
	for i := range 4 {
		fmt.Fprintf(&b, "  h%d: {model: m%d}\n", i, i)
	}
	b.WriteString("kinds:\n  gloss: {hall: h0, repeatable: true, deadline: 20s}\n")
	files := []File{{"00.yaml", []byte(b.String())}}
	for first := 0; first < servers; first += 100 {
		var text strings.Builder
		text.WriteString("servers:\n")
		for i := first; i < min(first+100, servers); i++ {
			fmt.Fprintf(&text, "  s%03d: {address: '10.%d.%d.7:7300', zone: z%d, engines: {", i, i/250, i%250, i%7)
			for e := range 4 {
				fmt.Fprintf(&text, "e%d: {hall: h%d, memoryTokens: 480000, prefillRate: 16000, slots: 16}, ", e, i%4)
			}
			text.WriteString("}}\n")
		}
		files = append(files, File{fmt.Sprintf("10-%03d.yaml", first), []byte(text.String())})
	}
	for i := range workspaces {
		files = append(files, File{fmt.Sprintf("20-%03d.yaml", i),
			fmt.Appendf(nil, "workspaces:\n  w%03d: {keyHashes: ['%064x'], weight: 2, requestsPerSecond: 20}\n", i, i)})
	}
	return files
}

// BenchmarkLoad measures the merge and validation of a folder, done once per change.
func BenchmarkLoad(b *testing.B) {
	for _, servers := range []int{20, 200, 810} {
		b.Run(fmt.Sprint(servers), func(b *testing.B) {
			files := largeFolder(servers, servers/3)
			size := 0
			for _, file := range files {
				size += len(file.Content)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			snapshot, err := Load(1, files)
			if err != nil {
				b.Fatal(err)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Load(1, files); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "folder-bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "kept-bytes")
			runtime.KeepAlive(snapshot)
		})
	}
}
