import * as z from 'zod';

const name = z.string().regex(/^[\da-z][\d\-._a-z]{0,62}$/v, 'expected 1 to 63 of a-z, 0-9, ".", "_", "-"');
const milliseconds = z.int().min(1).max(3_600_000);
const share = z.number().positive().max(1000);
const maximumFloor = 0.3;

const requestClass = z.strictObject({
	name,
	priority: z.int().min(0).max(99),
	urgent: z.boolean().default(false),
	firstTokenTargetMs: milliseconds,
	maximumWaitMs: milliseconds,
	weight: share.default(1),
	floor: z.number().min(0).max(maximumFloor).default(0),
});

const clientAccount = z.strictObject({
	name,
	keyHashes: z.array(z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 in hexadecimal')).max(16).readonly(),
	weight: share.default(1),
	maximumOpen: z.int().min(0).default(0),
});

const pool = z.strictObject({
	name,
	kind: z.enum(['engine', 'service']),
	model: name,
	region: name,
	repeatable: z.boolean().default(false),
	interTokenTargetMs: z.number().positive().max(60_000).default(52),
	dispatchers: z.int().min(1).max(64).default(1),
});

const endpoint = z.strictObject({
	id: name,
	pool: name,
	url: z.url({protocol: /^https?$/v}),
	dataCentre: name,
	initialLimit: z.int().min(1).max(4096).default(8),
	leaving: z.boolean().default(false),
	memoryTokens: z.int().min(1).max(1_000_000_000).optional(),
});

const binding = z.strictObject({
	account: name,
	pool: name,
	classes: z.array(name).min(1).readonly(),
});

/**
Schema of a configuration. References between its parts are checked by `validateConfiguration`.
*/
export const configurationSchema = z.strictObject({
	classes: z.array(requestClass).max(64).readonly().default([]),
	accounts: z.array(clientAccount).max(10_000).readonly().default([]),
	pools: z.array(pool).max(1000).readonly().default([]),
	endpoints: z.array(endpoint).max(20_000).readonly().default([]),
	bindings: z.array(binding).max(100_000).readonly().default([]),
});
