#!/bin/bash
# Draws docs/bench-*.svg from build/bench.json: a bar for each policy shows the median
# over the seeds, a line the range.  awk writes the SVG, so no plot program is needed.
set -eu
cd "$(dirname "$0")/.."
# draw DEPLOYMENT MEASURE FILE
draw() {
	grep -F "\"deployment\":\"$1\"" build/bench.json | grep -F "\"measure\":\"$2\"" |
		sed 's/.*"policy":"\([^"]*\)".*"value":\([^,]*\),"unit":"\([^"]*\)".*/\1 \2 \3/' | sort -k1,1 -k2,2g |
		awk -v title="$1: $2" '
		{ if (!($1 in n)) order[++k] = $1; v[$1, ++n[$1]] = $2; if ($2 > top) top = $2; unit = $3 }
		END {
			w = 480; h = 260; base = 210; height = 160; if (top == 0) top = 1
			printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", w, h
			printf "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/><text x=\"10\" y=\"20\">%s (%s)</text>\n", title, unit
			for (i = 1; i <= k; i++) {
				p = order[i]; m = v[p, int((n[p] + 1) / 2)]; lo = v[p, 1]; hi = v[p, n[p]]; x = 40 + (i - 1) * 110
				printf "<rect x=\"%d\" y=\"%.1f\" width=\"60\" height=\"%.1f\" fill=\"%s\"/>\n", x, base - m / top * height, m / top * height, p == "fleet" ? "#9b1c4a" : "#999999"
				printf "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"black\"/>\n", x + 30, x + 30, base - lo / top * height, base - hi / top * height
				printf "<text x=\"%d\" y=\"%d\">%s</text><text x=\"%d\" y=\"%.1f\">%.4g</text>\n", x, base + 18, p, x + 62, base - m / top * height, m
			}
			print "</svg>"
		}' >"$3"
}
for d in ligas mesob; do
	draw $d "crest: p95 first byte, short, small workspaces" docs/bench-$d-crest.svg
	draw $d "slowed: p99 first byte, short, small workspaces" docs/bench-$d-slowed.svg
	draw $d "stragglers: p99 first byte, short, small workspaces" docs/bench-$d-stragglers.svg
	draw $d "full: fairness gap" docs/bench-$d-gap.svg
	draw $d "full: utilisation" docs/bench-$d-utilisation.svg
done
echo "plots in docs: $(ls docs/bench-*.svg | wc -l)"
