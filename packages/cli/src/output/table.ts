/** Formats rows under headers as aligned columns. Returns `emptyText` if there are no rows. */
export function formatTable(
  headers: readonly string[],
  rows: readonly (readonly string[])[],
  emptyText: string,
): string {
  if (rows.length === 0) {
    return emptyText;
  }
  const lines = [headers, ...rows];
  const widths = headers.map((_, column) => Math.max(...lines.map((line) => (line[column] ?? '').length)));
  return lines
    .map((line) =>
      widths
        .map((width, column) => (line[column] ?? '').padEnd(width))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}

/** Formats pairs of name and value, one per line. */
export function formatPairs(pairs: readonly (readonly [string, string])[]): string {
  const width = Math.max(...pairs.map(([name]) => name.length));
  return pairs.map(([name, value]) => `${name.padEnd(width)}  ${value}`).join('\n');
}
