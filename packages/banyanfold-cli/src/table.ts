/**
 * Renders rows as aligned text columns.
 *
 * @example renderTable(['VM'], [['entry-0']]) // 'VM\nentry-0'
 */
export function renderTable(header: string[], rows: string[][]): string {
  const allRows = [header, ...rows];
  const widths = header.map((_, column) =>
    Math.max(...allRows.map(row => (row[column] ?? '').length)),
  );
  return allRows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
