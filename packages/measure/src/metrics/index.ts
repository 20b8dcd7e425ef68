/** Parses and aggregates metrics in the Prometheus text format. */

/**
 * Values by metric name with labels, as in the text, such as
 * `sent{kind="start"}`.
 */
export type MetricValues = ReadonlyMap<string, number>;

/** Parses the text of `/metrics`; skips lines that can't be parsed. */
export function parseMetrics(text: string): MetricValues {
  const values = new Map<string, number>();
  for (const line of text.split('\n')) {
    if (line.startsWith('#')) continue;
    const end = line.lastIndexOf(' ');
    const value = Number(line.slice(end + 1));
    if (end <= 0 || Number.isNaN(value)) continue;
    values.set(line.slice(0, end), value);
  }
  return values;
}

/**
 * Increase of each counter between two readings; a restart counts from zero.
 */
export function subtractMetrics(
  later: MetricValues,
  earlier: MetricValues,
): MetricValues {
  const change = new Map<string, number>();
  for (const [name, value] of later) {
    const before = earlier.get(name) ?? 0;
    change.set(name, value >= before ? value - before : value);
  }
  return change;
}

/** Sums the readings of several instances. */
export function sumMetrics(readings: readonly MetricValues[]): MetricValues {
  const sum = new Map<string, number>();
  for (const [name, value] of readings.flatMap(each => [...each])) {
    sum.set(name, (sum.get(name) ?? 0) + value);
  }
  return sum;
}

/** Sums the values of the metric `name` by the value of one label. */
export function groupByLabel(
  values: MetricValues,
  name: string,
  label: string,
): Record<string, number> {
  const groups: Record<string, number> = {};
  const pattern = new RegExp(`[{,]${label}="([^"]*)"`);
  for (const [key, value] of values) {
    if (value === 0 || !key.startsWith(`${name}{`)) continue;
    const group = pattern.exec(key)?.[1] ?? '';
    groups[group] = (groups[group] ?? 0) + value;
  }
  return groups;
}

/** Sums the values of the metric `name` over all labels. */
export function sumByName(values: MetricValues, name: string): number {
  let sum = 0;
  for (const [key, value] of values) {
    if (key === name || key.startsWith(`${name}{`)) sum += value;
  }
  return sum;
}
