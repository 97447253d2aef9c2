/** A log line of one process about a request. */
export interface TracedLine {
  time: string;
  node: string;
  text: string;
}

const REQUEST_FIELD = 'request';
const FIELD = /(?:^|\s)([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g;
/** Fields that are equal on all lines or printed before the text. */
const OMITTED_FIELDS = new Set([
  'time',
  'node',
  'role',
  'level',
  REQUEST_FIELD,
]);

/**
 * Extracts the lines about one request from the logs of several processes, sorted
 * by time.
 *
 * @example traceRequest([readFileSync('entry-1.log', 'utf8')], '9c41d07b')
 */
export function traceRequest(
  logs: readonly string[],
  requestId: string,
): TracedLine[] {
  const lines: TracedLine[] = [];
  for (const log of logs) {
    for (const line of log.split('\n')) {
      if (!line.includes(requestId)) continue;
      const fields = parseFields(line);
      if (fields.get(REQUEST_FIELD) !== requestId) continue;
      lines.push({
        time: fields.get('time') ?? '',
        node: fields.get('node') ?? fields.get('vm') ?? '',
        text: [...fields]
          .filter(([name]) => !OMITTED_FIELDS.has(name))
          .map(([name, value]) =>
            name === 'event' ? value : `${name}=${value}`,
          )
          .join(' '),
      });
    }
  }
  return lines.sort((a, b) => (a.time < b.time ? -1 : 1));
}

function parseFields(line: string): Map<string, string> {
  const fields = new Map<string, string>();
  for (const [, name, value] of line.matchAll(FIELD)) fields.set(name!, value!);
  return fields;
}
