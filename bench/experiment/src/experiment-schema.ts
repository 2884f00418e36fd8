import * as z from 'zod';

const weight = z.number().min(0);
const factor = z.number().positive();

/**
Form of an experiment's file. A variant names what it changes; the rest is as the gateway has it by default.
*/
export const experimentSchema = z.strictObject({
	load: z.enum([
		'drafts-beside-queries',
		'drafts-beside-faults',
		'drafts-beside-overload',
		'full-memories',
		'large-fleet',
		'dark-engines',
		'dark-engines-overload',
		'pausing-engines',
		'pausing-engines-overload',
		'small-memories',
		'uneven-engines',
		'weak-nodes',
		'weak-nodes-overload',
	]),
	seeds: z.int().min(1).max(1000).default(5),
	variants: z.record(z.string(), z.strictObject({
		harm_weight: weight.default(1),
		risk_weight: weight.default(1),
		reread_ms_per_token: weight.default(0.3),
		reread_by_rate: z.boolean().default(false),
		reserved_share: z.number().min(0).max(1).default(0),
		memory_room: z.boolean().default(false),
		late_factor: factor.default(1.3),
		wait_factor: weight.default(0.5),
		return_factor: factor.default(1.5),
		nodes: z.int().min(1).max(400).optional(),
		news_ms: z.int().min(1).optional(),
		leaving: z.enum(['secured', 'overdue', 'silent', 'stalled', 'dark', 'patient', 'shorter', 'never']).default('secured'),
		read_first: z.boolean().default(false),
		count_failures: z.boolean().default(true),
		waiting: z.boolean().default(false),
	})).refine(variants => Object.keys(variants).length > 0, 'name at least one variant'),
});
