import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {Row} from './row.ts';

const height = 160;
const width = 720;

/**
 Draws attainment by class and mode over the loads, as SVG.

 @example
 await writeFile('burst.svg', await drawRows(rows));
 */
export async function drawRows(rows: readonly Row[]): Promise<string> {
	const values = rows.flatMap(({scenario, mode, summary}) => summary.classes.map(({className, attainment}) => ({
		scenario, mode, className, attainment: attainment * 100,
	})));
	const spec: TopLevelSpec = {
		$schema: 'https://vega.github.io/schema/vega-lite/v6.json',
		data: {values},
		facet: {row: {field: 'className', type: 'nominal', title: 'class'}},
		spec: {
			width,
			height,
			mark: 'bar',
			encoding: {
				x: {
					field: 'scenario', type: 'nominal', sort: undefined, axis: {labelAngle: -20, title: undefined},
				},
				xOffset: {field: 'mode', type: 'nominal'},
				y: {field: 'attainment', type: 'quantitative', title: 'answers in time, %'},
				color: {field: 'mode', type: 'nominal'},
			},
		},
	};
	const view = new View(parse(compile(spec).spec), {renderer: 'none'});
	return view.toSVG();
}
