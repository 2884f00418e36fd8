import * as z from 'zod';
import type {ClaimEntry} from './claim-entry.ts';

const entry = z.object({
	k: z.string(), r: z.string(), n: z.string(), f: z.string(), t: z.number(), x: z.literal(1).optional(),
}).transform((value): ClaimEntry => {
	const {x, ...rest} = value;
	return x === undefined ? rest : {...rest, x};
});
const entries = z.array(entry).readonly();

/**
Format of a stored segment or head.
*/
export const claimSegmentSchema = z.object({number: z.int().min(0), entries, previous: entries.optional()});
