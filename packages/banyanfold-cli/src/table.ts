/**
 * Renders rows as columns of text that line up.
 *
 * @example renderTable(['VM'], [['entry-0']]) // 'VM\nentry-0'
 */
export function renderTable(header: string[], rows: string[][]): string {
  const all = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  return all
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
