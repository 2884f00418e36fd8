/**
 Formats rows as a Markdown table.

 @example
 formatTable(['nodes', 'CPU'], [['3', '0.4 %']]);
 */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
	const lines = [header, header.map(() => '---'), ...rows];
	return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
