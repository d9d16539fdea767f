/**
 * Draws the worth that callers got over the course of a load as SVG, with one line for each policy.
 */
import type { ScenarioResult } from "./play";

const WIDTH = 760;
const HEIGHT = 300;
const MARGIN = 40;
const COLOURS = ["#1b6ca8", "#d1495b", "#3c8d5a", "#8a5fb0", "#c98a1b", "#4a4a4a", "#23a6a6"];

/** The name of a policy and the result that its line shows. */
export interface PlotLine {
  readonly name: string;
  readonly result: ScenarioResult;
}

/**
 * Draws the share of the worth that callers got, by the time at which they sent their requests.
 *
 * @returns an SVG document
 * @example
 * writeFileSync("bursts.svg", drawPlot("bursts", lines));
 */
export function drawPlot(title: string, lines: readonly PlotLine[]): string {
  const parts = [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="11">`,
    `<rect width="${WIDTH}" height="${HEIGHT}" fill="white"/>`,
    `<text x="${MARGIN}" y="16">${title}: share of the worth that callers got, by when they asked</text>`,
    drawAxis(),
    ...lines.map((line, index) => drawLine(line, index)),
    "</svg>",
  ];
  return `${parts.join("\n")}\n`;
}

function drawAxis(): string {
  const ticks = [0, 0.5, 1].map((share) => {
    const y = computeY(share);
    return `<line x1="${MARGIN}" y1="${y}" x2="${WIDTH - MARGIN}" y2="${y}" stroke="#ddd"/><text x="8" y="${y}">${share}</text>`;
  });
  return ticks.join("\n");
}

function drawLine({ name, result }: PlotLine, index: number): string {
  const colour = COLOURS[index % COLOURS.length] ?? "black";
  const stepX = (WIDTH - 2 * MARGIN) / Math.max(1, result.worthByWindow.length - 1);
  const points = result.worthByWindow.map(
    (share, window) => `${(MARGIN + window * stepX).toFixed(1)},${computeY(share).toFixed(1)}`,
  );
  const x = MARGIN + index * 100;
  return [
    `<polyline fill="none" stroke="${colour}" stroke-width="1.5" points="${points.join(" ")}"/>`,
    `<text x="${x}" y="${HEIGHT - 8}" fill="${colour}">${name}</text>`,
  ].join("\n");
}

function computeY(share: number): number {
  return HEIGHT - MARGIN - Math.min(1, share) * (HEIGHT - 2 * MARGIN);
}
