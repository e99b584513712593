/** Prints results as a table, as JSON and as a plot. */
import type { Figure, PolicyResult } from './experiment.js';

function describe({ value, unit, bound }: Figure): string {
  const limit = bound === null ? '' : ` (bound ${bound})`;
  return `${value}${unit === '' ? '' : ` ${unit}`}${limit}`;
}

/** One row for each policy. */
export function formatResults(results: readonly PolicyResult[]): readonly string[] {
  return results.map(({ user, policy, figures }) => {
    const parts = figures.map((one) => `${one.name} ${describe(one)}`);
    return `${user} | ${policy} | ${parts.join(' | ')}`;
  });
}

const WIDTH = 900;
const LABEL_WIDTH = 330;
const BAR_HEIGHT = 18;
const GAP = 6;
const TITLE_HEIGHT = 30;

function escape(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
}

interface Bar {
  readonly label: string;
  readonly value: number;
  readonly bound: number | null;
}

function barSvg({ label, value, bound }: Bar, index: number, scale: number): string {
  const top = TITLE_HEIGHT + index * (BAR_HEIGHT + GAP);
  const width = Math.max(1, value * scale);
  const mark =
    bound === null
      ? ''
      : `<line x1="${LABEL_WIDTH + bound * scale}" x2="${LABEL_WIDTH + bound * scale}" y1="${top}" y2="${top + BAR_HEIGHT}" stroke="#b00" stroke-width="2"/>`;
  return [
    `<text x="${LABEL_WIDTH - 8}" y="${top + 13}" text-anchor="end">${escape(label)}</text>`,
    `<rect x="${LABEL_WIDTH}" y="${top}" width="${width}" height="${BAR_HEIGHT}" fill="#4a7"/>`,
    mark,
    `<text x="${LABEL_WIDTH + width + 6}" y="${top + 13}">${value}</text>`,
  ].join('');
}

/** A bar for each policy and the first figure that has a bound; the red mark is the bound. */
export function plotResults(title: string, results: readonly PolicyResult[]): string {
  const bars = results.flatMap(({ user, policy, figures }): readonly Bar[] => {
    const main = figures.findLast((one) => one.bound !== null) ?? figures[0];
    return main === undefined
      ? []
      : [{ label: `${user}: ${policy}, ${main.name}`, value: main.value, bound: main.bound }];
  });
  const largest = Math.max(1e-9, ...bars.map((bar) => Math.max(bar.value, bar.bound ?? 0)));
  const VALUE_SPACE = 90;
  const scale = (WIDTH - LABEL_WIDTH - VALUE_SPACE) / largest;
  const height = TITLE_HEIGHT + bars.length * (BAR_HEIGHT + GAP) + GAP;
  const body = bars.map((bar, index) => barSvg(bar, index, scale)).join('\n');
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">
<rect width="100%" height="100%" fill="white"/>
<text x="8" y="20" font-size="15">${escape(title)}</text>
${body}
</svg>
`;
}
