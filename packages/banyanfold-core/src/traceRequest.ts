/** A line of one process about a request. */
export interface TracedLine {
  time: string;
  node: string;
  text: string;
}

const REQUEST_FIELD = 'request';
const FIELD = /(?:^|\s)([A-Za-z]+)=("(?:[^"\\]|\\.)*"|\S*)/g;
/** Fields that are the same on all lines, or stand before the text. */
const OMITTED = new Set(['time', 'node', 'role', 'level', REQUEST_FIELD]);

/**
 * The lines of several processes' logs that are about one request, in order of
 * time.
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
      const fields = fieldsOf(line);
      if (fields.get(REQUEST_FIELD) !== requestId) continue;
      lines.push({
        time: fields.get('time') ?? '',
        node: fields.get('node') ?? fields.get('vm') ?? '',
        text: [...fields]
          .filter(([name]) => !OMITTED.has(name))
          .map(([name, value]) =>
            name === 'event' ? value : `${name}=${value}`,
          )
          .join(' '),
      });
    }
  }
  return lines.sort((a, b) => (a.time < b.time ? -1 : 1));
}

function fieldsOf(line: string): Map<string, string> {
  const fields = new Map<string, string>();
  for (const [, name, value] of line.matchAll(FIELD)) fields.set(name!, value!);
  return fields;
}
