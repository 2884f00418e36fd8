import {ValvesaddleError} from '@valvesaddle/error';
import type {EndpointEvidence} from '@valvesaddle/evidence';
import type {OriginLoadUpdate} from '@valvesaddle/news';
import type {EndpointLoad, Placement} from '@valvesaddle/selection';

/**
Maximum number of request ranks at an engine.
*/
const maximumRanks = 64;
const loadFields = 8;
/**
Fields that a row may have besides: nodes leave them out while they say nothing, and earlier versions do not know them.
*/
const optionalLoadFields = 2;
const evidenceFields = 5;
/**
More requests than a fleet ends at one endpoint in a second, and more milliseconds than they take: larger counts would outweigh all
other nodes.
*/
const maximumAnswers = 100_000;
const maximumServiceMs = 1e9;
const placementFields = 4;

/**
 Parses a load update from the rows that `formatLoadUpdate` writes. It checks and decodes them in one pass rather than by a schema,
 since a busy relay sends its members up to 17 updates a second; checked row by row against a schema, they take over 4 % of a loaded
 node's time.

 @throws `ERR_VALVESADDLE_MESSAGE_INVALID` for a malformed update.
 @example
 parseLoadUpdate({nodes: 1, loads: [['i-7f', 2, [], 0, 0, 0, 0, 0]], placements: []}).loads[0]?.[1].open; // 2
 */
export function parseLoadUpdate(message: unknown): Omit<OriginLoadUpdate, 'origin'> {
	const {nodes, loads, placements, evidence = []} = message as Readonly<Record<string, unknown>>;
	if (!(isAmount(nodes) && Number.isSafeInteger(nodes) && Array.isArray(loads) && Array.isArray(placements) && Array.isArray(evidence))) {
		throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'load update without valid nodes, loads, placements or evidence');
	}

	const told = new Map(evidence.map(row => parseEvidence(row, loads.length)));
	return {nodes, loads: loads.map((row, index) => parseLoad(row, told.get(index))), placements: placements.map(row => parsePlacement(row))};
}

function parseLoad(row: unknown, evidence: EndpointEvidence | undefined): readonly [string, EndpointLoad] {
	const [endpoint, open, pendingPrefill, sensitivity, observers, stalledObservers, prefilledTokens, prefillMs, memoryTokens = 0, protectedStreams = 0] = parseRow(row, loadFields, optionalLoadFields);
	if (typeof endpoint === 'string' && isAmount(open) && isPendingPrefill(pendingPrefill) && isAmount(sensitivity)
		&& isAmount(observers) && isAmount(stalledObservers) && isAmount(prefilledTokens) && isAmount(prefillMs)
		&& isAmount(memoryTokens) && isAmount(protectedStreams)) {
		return [endpoint, {
			open, pendingPrefill, sensitivity, observers, stalledObservers, prefilledTokens, prefillMs, memoryTokens, protectedStreams, ...evidence !== undefined && {evidence},
		}];
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'load row must consist of an endpoint name and non-negative numbers');
}

function parseEvidence(row: unknown, loads: number): readonly [index: number, evidence: EndpointEvidence] {
	const [index, answers, failures, timedAnswers, serviceMs] = parseRow(row, evidenceFields);
	if (isAmount(index) && Number.isSafeInteger(index) && index < loads
		&& isCount(answers) && isCount(failures) && isCount(timedAnswers) && isAmount(serviceMs) && serviceMs <= maximumServiceMs) {
		return [index, {
			answers, failures, timedAnswers, serviceMs,
		}];
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `evidence row must consist of the index of a load row, up to ${maximumAnswers} answers and failures, and a time`);
}

function parsePlacement(row: unknown): Placement {
	const [endpoint, pool, parts, tokens] = parseRow(row, placementFields);
	if (typeof endpoint === 'string' && typeof pool === 'string' && isNames(parts) && isAmount(tokens)) {
		return {
			endpoint, pool, parts, tokens,
		};
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', 'placement row must consist of names and a non-negative number');
}

/**
Parses a row of this many fields, and optional ones at its end.
*/
function parseRow(row: unknown, fields: number, optionalFields = 0): readonly unknown[] {
	if (Array.isArray(row) && row.length >= fields && row.length <= fields + optionalFields) {
		return row as readonly unknown[];
	}

	throw new ValvesaddleError('ERR_VALVESADDLE_MESSAGE_INVALID', `row must be an array of ${fields} fields`);
}

function isAmount(value: unknown): value is number {
	return typeof value === 'number' && Number.isFinite(value) && value >= 0;
}

function isCount(value: unknown): value is number {
	return isAmount(value) && value <= maximumAnswers;
}

function isPendingPrefill(value: unknown): value is readonly number[] {
	return Array.isArray(value) && value.length <= maximumRanks && value.every(tokens => isAmount(tokens));
}

function isNames(value: unknown): value is readonly string[] {
	return Array.isArray(value) && value.every(name => typeof name === 'string');
}
