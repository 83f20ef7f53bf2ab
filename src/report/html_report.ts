/** Renders the burn report as a self-contained HTML page, using uPlot. */

import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { type BurnLine, CAUSES } from "./burn.ts";

/** Lines in the plots; the table lists all lines. */
const MAX_PLOTTED_LINES = 20;

/** Returns the HTML page; the lines come in order of burn rate. */
export function burnHtml(
  lines: readonly BurnLine[],
  generatedAt: Date,
): string {
  const plotted = lines.slice(0, MAX_PLOTTED_LINES);
  const labels = plotted.map(
    ({ service, team, measure }) => `${service} ${team} ${measure}`,
  );
  const positions = plotted.map((_, index) => index);
  const burn = [
    positions,
    plotted.map(({ shortBurn }) => shortBurn),
    plotted.map(({ longBurn }) => longBurn),
  ];
  const causes = [
    positions,
    ...CAUSES.map((cause) => plotted.map((line) => line.causes[cause])),
  ];
  const data = JSON.stringify({ labels, burn, causes, names: CAUSES });
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8">
<title>Service-level burn</title>
<style>${readPackageFile("uplot/dist/uPlot.min.css")}${STYLE}</style>
<script>${readPackageFile("uplot/dist/uPlot.iife.min.js")}</script>
</head><body>
<h1>Service-level burn</h1>
<p>Made at ${generatedAt.toISOString()}. A burn rate of 1 uses the error budget up
exactly by the end of the window; above 1 the target will be missed.</p>
<h2>Burn rate, worst first</h2><div id="burn"></div>
<h2>Missed requests by cause</h2><div id="causes"></div>
<h2>All targets</h2>${htmlTable(lines)}
<script>const data = ${data.replaceAll("<", "\\u003c")};${SCRIPT}</script>
</body></html>
`;
}

function readPackageFile(path: string): string {
  const require = createRequire(import.meta.url);
  return readFileSync(require.resolve(path), "utf8");
}

function htmlTable(lines: readonly BurnLine[]): string {
  const header = [
    ...["Service", "Team", "Target", "Burn 5 min", "Burn 1 h", "Budget left"],
    ...CAUSES,
  ];
  const rows = lines.map((line) => [
    line.service,
    line.team,
    `${line.measure} within ${line.limitMs} ms for ${line.objective * 100}%`,
    line.shortBurn.toFixed(2),
    line.longBurn.toFixed(2),
    `${Math.round(line.budgetLeft * 100)}%`,
    ...CAUSES.map((cause) => String(line.causes[cause])),
  ]);
  const head = header.map((cell) => `<th>${escapeHtml(cell)}</th>`).join("");
  const body = rows
    .map((row) => row.map((cell) => `<td>${escapeHtml(cell)}</td>`).join(""))
    .map((cells) => `<tr>${cells}</tr>`)
    .join("\n");
  return `<table><tr>${head}</tr>\n${body}</table>`;
}

function escapeHtml(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;");
}

const STYLE = `
body { font: 14px sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; }
td, th { border: 1px solid #ccc; padding: 2px 8px; text-align: left; }`;

const SCRIPT = `
const colours = ["#c0392b", "#2980b9", "#27ae60", "#8e44ad"];
function plot(id, names, values) {
  const bars = uPlot.paths.bars({ size: [0.6, 60] });
  new uPlot({
    width: 1000, height: 300,
    scales: { x: { time: false, range: [-0.7, data.labels.length - 0.3] } },
    axes: [{
      values: (_, places) => places.map((at) => data.labels[at] ?? ""),
      rotate: -30, size: 120, incrs: [1],
    }, {}],
    series: [{ label: "target", value: (_, at) => data.labels[at] ?? "" },
      ...names.map((label, index) => ({
        label, stroke: colours[index], width: 2,
        fill: colours[index] + "55", paths: bars,
      }))],
  }, values, document.getElementById(id));
}
plot("burn", ["5 min", "1 h"], data.burn);
plot("causes", data.names, data.causes);`;
