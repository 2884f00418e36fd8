import type {Spread} from './spread.ts';
import type {VariantReport} from './variant-report.ts';

/**
Figures of this size and more are shown without decimals.
*/
const largeFigure = 10;
const decimals = 3;

/**
 Formats reports as a Markdown table: a row a figure, a column a variant, each as mean and spread.

 @example
 formatTable(reports).split('\n').length;
 */
export function formatTable(reports: readonly VariantReport[]): string {
	const figures = Object.keys(reports[0]?.figures ?? {});
	const rows = figures.map(figure => `| ${figure} | ${reports.map(({figures: spreads}) => formatSpread(spreads[figure])).join(' | ')} |`);
	return [
		`| figure | ${reports.map(({name, seeds}) => `${name}, ${seeds} seeds`).join(' | ')} |`,
		`| --- |${reports.map(() => ' --- |').join('')}`,
		...rows,
		'',
		'Emulated: no restart of nodes, no plain services, no processor time of nodes; a seed moves worth by some 0.05.',
	].join('\n');
}

function formatFigure(value: number): string {
	return value.toFixed(value >= largeFigure ? 0 : decimals);
}

function formatSpread(spread: Spread | undefined): string {
	return spread === undefined ? '' : `${formatFigure(spread.mean)} (${formatFigure(spread.least)} to ${formatFigure(spread.most)})`;
}
