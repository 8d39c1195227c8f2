package losses

import (
	"fmt"
	"io"
	"sort"
	"text/tabwriter"
	"time"
)

// window is the length of the spans of time that a report tells apart.
const window = 2 * time.Second

// row counts the jobs of a group.
type row struct {
	name    string
	count   int
	results map[result]int
	causes  map[Cause]int
}

// table groups jobs by what nameOf returns.
func (r *Report) table(nameOf func(id string, j *record) string) []*row {
	rows := map[string]*row{}
	for id, j := range r.jobs {
		name := nameOf(id, j)
		if rows[name] == nil {
			rows[name] = &row{name: name, results: map[result]int{}, causes: map[Cause]int{}}
		}
		rows[name].add(j)
	}
	sorted := make([]*row, 0, len(rows))
	for _, row := range rows {
		sorted = append(sorted, row)
	}
	sort.Slice(sorted, func(a, b int) bool { return sorted[a].name < sorted[b].name })
	return sorted
}

func (row *row) add(j *record) {
	row.count++
	got := j.result()
	row.results[got]++
	if got != met {
		row.causes[j.cause()]++
	}
}

// Write prints a table by route and size, by domain, and by window.
func (r *Report) Write(w io.Writer) error {
	sizes := r.sizeNames()
	tables := []struct {
		title  string
		nameOf func(id string, j *record) string
	}{
		{"route, size", func(id string, j *record) string {
			if j.end == nil {
				return "unknown"
			}
			return j.end.Route + ", " + sizes[id]
		}},
		{"domain", func(_ string, j *record) string { return j.domain }},
		{"from second", func(_ string, j *record) string {
			return fmt.Sprintf("%4d", int(j.at.Sub(r.start)/window*window/time.Second))
		}},
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, t := range tables {
		writeTable(out, t.title, r.table(t.nameOf))
	}
	return out.Flush()
}

// writeTable writes into the buffer of a tabwriter, whose Flush tells of errors.
func writeTable(w io.Writer, title string, rows []*row) {
	fmt.Fprintf(w, "%s\tjobs\tmet\tlate\tlittle\tunserved\t", title)
	for _, cause := range causes {
		fmt.Fprintf(w, "%s\t", cause)
	}
	fmt.Fprintln(w)
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t", row.name, row.count, row.results[met], row.results[late], row.results[little], row.results[unserved])
		for _, cause := range causes {
			fmt.Fprintf(w, "%d\t", row.causes[cause])
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintln(w)
}
