import {build, type Histogram} from 'hdr-histogram-js';

const QUANTILES = [0.5, 0.95, 0.99] as const;
/** Histograms record whole microseconds, to keep values below 1 ms. */
const MICROSECONDS_PER_MS = 1000;
const MAX_VALUE_US = 3_600_000_000;
const PERCENT = 100;

export type MetricLabels = Record<string, string>;

function seriesKey(name: string, labels: MetricLabels): string {
  const pairs = Object.entries(labels)
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return pairs.length === 0 ? name : `${name}{${pairs.join(',')}}`;
}

function withLabel(series: string, pair: string): string {
  if (!series.endsWith('}')) return `${series}{${pair}}`;
  return `${series.slice(0, -1)},${pair}}`;
}

function withSuffix(series: string, suffix: string): string {
  const brace = series.indexOf('{');
  if (brace < 0) return `${series}${suffix}`;
  return `${series.slice(0, brace)}${suffix}${series.slice(brace)}`;
}

/** The counters, gauges and histograms of a process. */
export class Metrics {
  private readonly counters = new Map<string, number>();
  private readonly gauges = new Map<string, () => number>();
  private readonly histograms = new Map<string, Histogram>();

  /** Adds `amount` to a counter whose name ends in `_total`. */
  count(name: string, labels: MetricLabels = {}, amount = 1): void {
    const key = seriesKey(name, labels);
    this.counters.set(key, (this.counters.get(key) ?? 0) + amount);
  }

  /** Registers a gauge whose value is read when the metrics are rendered. */
  gauge(name: string, read: () => number, labels: MetricLabels = {}): void {
    this.gauges.set(seriesKey(name, labels), read);
  }

  /** Records a duration in milliseconds under a name ending in `_ms`. */
  observeMs(name: string, valueMs: number, labels: MetricLabels = {}): void {
    const key = seriesKey(name, labels);
    let histogram = this.histograms.get(key);
    if (!histogram) {
      histogram = build({
        bitBucketSize: 32,
        autoResize: true,
        highestTrackableValue: MAX_VALUE_US,
        numberOfSignificantValueDigits: 2,
      });
      this.histograms.set(key, histogram);
    }
    const valueUs = Math.round(valueMs * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(MAX_VALUE_US, Math.max(0, valueUs)));
  }

  counterValue(name: string, labels: MetricLabels = {}): number {
    return this.counters.get(seriesKey(name, labels)) ?? 0;
  }

  /** Returns the quantile in milliseconds, or undefined without any value. */
  quantileMs(
    name: string,
    quantile: number,
    labels: MetricLabels = {},
  ): number | undefined {
    const histogram = this.histograms.get(seriesKey(name, labels));
    if (!histogram) return undefined;
    const valueUs = histogram.getValueAtPercentile(quantile * PERCENT);
    return valueUs / MICROSECONDS_PER_MS;
  }

  /** Renders all metrics in the Prometheus text format. */
  render(): string {
    const lines: string[] = [];
    for (const [key, value] of this.counters) lines.push(`${key} ${value}`);
    for (const [key, read] of this.gauges) lines.push(`${key} ${read()}`);
    for (const [key, histogram] of this.histograms) {
      for (const quantile of QUANTILES) {
        const valueMs =
          histogram.getValueAtPercentile(quantile * PERCENT) /
          MICROSECONDS_PER_MS;
        lines.push(`${withLabel(key, `quantile="${quantile}"`)} ${valueMs}`);
      }
      lines.push(`${withSuffix(key, '_count')} ${histogram.totalCount}`);
    }
    return `${lines.sort().join('\n')}\n`;
  }
}
