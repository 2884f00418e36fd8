import {formatTable} from '@valvesaddle/bench-harness';
import type {Row} from './row.ts';

const header = [
	'load', 'mode', 'gate in time', 'route in time', 'estimate in time', 'good tokens/s', 'wasted', 'worst wait of estimates', 'estimates served', 'refused', 'failed', 'Jain', 'gate first token p99',
];

/**
 Formats measured rows as a Markdown table.

 @example
 formatRows([row]).split('\n').at(-1); // '| steady, 0.7 of capacity | pool | …'
 */
export function formatRows(rows: readonly Row[]): string {
	return formatTable(header, rows.map(({scenario, mode, summary}) => {
		const [gate, route, estimate] = summary.classes;
		const refused = summary.classes.map(entry => entry.refused).join('/');
		const failed = summary.classes.map(entry => entry.failed).join('/');
		return [
			scenario,
			mode,
			toPercent(gate?.attainment),
			toPercent(route?.attainment),
			toPercent(estimate?.attainment),
			summary.goodTokensPerSecond.toFixed(0),
			toPercent(summary.wastedPart),
			`${((estimate?.worstWaitMs ?? 0) / 1000).toFixed(1)} s`,
			`${estimate?.complete}/${estimate?.requests}`,
			refused,
			failed,
			summary.jainIndex.toFixed(3),
			`${gate?.firstTokenP99.toFixed(0)} ms`,
		];
	}));
}

function toPercent(part: number | undefined): string {
	return `${((part ?? 0) * 100).toFixed(1)} %`;
}
