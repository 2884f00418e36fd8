import {ValvesaddleError} from '@valvesaddle/error';
import type {OriginNews} from '@valvesaddle/news';
import type {EndpointLoad, Placement} from '@valvesaddle/selection';

/**
Ranks of requests at an engine.
*/
const mostRanks = 64;
const loadFields = 8;
const placementFields = 4;

/**
 Reads news of work as `formatNews` writes them: rows without names. A busy relay sends them to each of its members up to 17 times
 a second, so one pass checks and reads them: checked row by row against a schema, they took over 4 % of a loaded node's time.

 @throws `ERR_VALVESADDLE_MESSAGE_INVALID` for news of another form.
 @example
 parseNews({nodes: 1, loads: [['i-7f', 2, [], 0, 0, 0, 0, 0]], placements: []}).loads[0]?.[1].open; // 2
 */
export function parseLoadUpdate(message: unknown): Omit<OriginNews, 'origin'> {
	const {nodes, loads, placements} = message as Readonly<Record<string, unknown>>;
	if (!(isAmount(nodes) && Number.isSafeInteger(nodes) && Array.isArray(loads) && Array.isArray(placements))) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'news without nodes, loads or placements');
	}

	return {nodes, loads: loads.map(row => readLoad(row)), placements: placements.map(row => readPlacement(row))};
}

function readLoad(row: unknown): readonly [string, EndpointLoad] {
	const [endpoint, open, unread, sensitivity, witnesses, silent, readTokens, readMs] = toRow(row, loadFields);
	if (typeof endpoint === 'string' && isAmount(open) && isUnread(unread) && isAmount(sensitivity) && isAmount(witnesses) && isAmount(silent) && isAmount(readTokens) && isAmount(readMs)) {
		return [endpoint, {
			open, unread, sensitivity, witnesses, silent, readTokens, readMs,
		}];
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'a load whose fields are not a name and amounts');
}

function readPlacement(row: unknown): Placement {
	const [endpoint, pool, parts, tokens] = toRow(row, placementFields);
	if (typeof endpoint === 'string' && typeof pool === 'string' && isNames(parts) && isAmount(tokens)) {
		return {
			endpoint, pool, parts, tokens,
		};
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'a placement whose fields are not names and an amount');
}

function toRow(row: unknown, fields: number): readonly unknown[] {
	if (Array.isArray(row) && row.length === fields) {
		return row as readonly unknown[];
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `a row that is not one of ${fields} fields`);
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isUnread(value: unknown): value is readonly number[] {
	return Array.isArray(value) && value.length <= mostRanks && value.every(tokens => isAmount(tokens));
}

function isNames(value: unknown): value is readonly string[] {
	return Array.isArray(value) && value.every(name => typeof name === 'string');
}
