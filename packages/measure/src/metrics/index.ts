/** Reads the figures of an entry instance: Prometheus text, summed by labels. */

/** Figures by name and labels as they stand in the text. */
export type Figures = ReadonlyMap<string, number>;

/** Reads the text of `/metrics`; lines that it cannot read are left out. */
export function parseMetrics(text: string): Figures {
  const figures = new Map<string, number>();
  for (const line of text.split('\n')) {
    if (line.startsWith('#')) continue;
    const end = line.lastIndexOf(' ');
    const value = Number(line.slice(end + 1));
    if (end <= 0 || Number.isNaN(value)) continue;
    figures.set(line.slice(0, end), value);
  }
  return figures;
}

/** What was counted between two readings; a restart counts from zero. */
export function subtractFigures(later: Figures, earlier: Figures): Figures {
  const change = new Map<string, number>();
  for (const [name, value] of later) {
    const before = earlier.get(name) ?? 0;
    change.set(name, value >= before ? value - before : value);
  }
  return change;
}

/** Adds up several readings. */
export function addFigures(readings: readonly Figures[]): Figures {
  const sum = new Map<string, number>();
  for (const [name, value] of readings.flatMap(each => [...each])) {
    sum.set(name, (sum.get(name) ?? 0) + value);
  }
  return sum;
}

/** The figures called `name`, by the value of one label. */
export function groupByLabel(
  figures: Figures,
  name: string,
  label: string,
): Record<string, number> {
  const groups: Record<string, number> = {};
  const pattern = new RegExp(`[{,]${label}="([^"]*)"`);
  for (const [key, value] of figures) {
    if (value === 0 || !key.startsWith(`${name}{`)) continue;
    const group = pattern.exec(key)?.[1] ?? '';
    groups[group] = (groups[group] ?? 0) + value;
  }
  return groups;
}

/** The sum of all figures called `name`. */
export function sumOf(figures: Figures, name: string): number {
  let sum = 0;
  for (const [key, value] of figures) {
    if (key === name || key.startsWith(`${name}{`)) sum += value;
  }
  return sum;
}
