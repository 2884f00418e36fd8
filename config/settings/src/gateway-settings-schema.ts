import * as z from 'zod';

const address = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'expected an IP number and a port, such as "10.0.0.5:7100"');
/**
The platform states some bounds in seconds, with fractions.
*/
const seconds = z.number().positive().max(86_400);
const milliseconds = z.int().min(1).max(86_400_000);

/**
Form of a gateway node's settings file. Times are in milliseconds, those named `_s` in seconds.
*/
export const gatewaySettingsSchema = z.strictObject({
	node: z.strictObject({
		name: z.string().min(1),
		data_centre: z.string(),
		region: z.string(),
		/**
		Share of one core that the node may use, and how many usual cores that one is worth.
		*/
		cpu_share: z.number().positive().default(1),
		core_speed: z.number().positive().default(1),
		/**
		Megabits a second of the VM's own link.
		*/
		link_mbps: z.number().positive().default(1000),
	}),
	/**
	Figures are always shown on the ready address, and on `metrics` too when it is set.
	*/
	listen: z.strictObject({
		callers: address, ready: address, peers: address, metrics: address.optional(),
	}),
	store: z.strictObject({
		address,
		timeout_ms: milliseconds.default(1000),
		watch_ms: milliseconds.default(3000),
		gather_ms: milliseconds.default(60),
		settle_ms: milliseconds.default(500),
		retry_ms: milliseconds.default(400),
		/**
		Longer than an outage as a rule lasts: a node that only the store cannot hear must stay registered.
		*/
		lease_ms: milliseconds.default(30_000),
		renew_ms: milliseconds.default(2000),
		lapse_grace_ms: milliseconds.default(2000),
	}),
	retry: z.strictObject({
		ratio: z.number().min(0).default(0.1),
		slack: z.number().min(0).default(10),
		window_s: seconds.default(10),
		/**
		Nodes that are taken to share the slack before more are known.
		*/
		assumed_nodes: z.int().min(1).default(8),
	}).prefault({}),
	selection: z.strictObject({
		harm_weight: z.number().min(0).default(1),
		risk_weight: z.number().min(0).default(1),
		reuse_s: seconds.default(10),
		reread_ms_per_token: z.number().min(0).default(0.3),
		prefill_tokens_per_ms: z.number().positive().default(50),
	}).prefault({}),
	admission: z.strictObject({
		late_factor: z.number().positive().default(1.3),
		wait_factor: z.number().positive().default(0.5),
		return_factor: z.number().positive().default(1.5),
	}).prefault({}),
	peers: z.strictObject({
		/**
		Five heartbeats, so that links are looked after with them.
		*/
		silence_ms: milliseconds.default(1250),
		news_ms: milliseconds.default(20),
		heartbeat_ms: milliseconds.default(250),
		/**
		Largest fleet in which every node is linked with every other.
		*/
		mesh_nodes: z.int().min(1).default(16),
		/**
		Time after which a relay that could not be reached is tried again.
		*/
		suspect_ms: milliseconds.default(8000),
	}).prefault({}),
	limits: z.strictObject({
		connect_ms: milliseconds.default(400),
		keep_alive_ms: milliseconds.default(4000),
	}).prefault({}),
	drain: z.strictObject({
		grace_s: seconds.default(8),
		/**
		Time after which the balancer has taken the node out.
		*/
		balancer_ms: milliseconds.default(2500),
	}).prefault({}),
	/**
	Duties that the platform asks of one node at a time; off without the table.
	*/
	duties: z.strictObject({
		address,
		/**
		Names of the duties, as the platform offers them.
		*/
		offered: z.array(z.string()).default([]),
		timeout_ms: milliseconds.default(1200),
		lease_ms: z.int().min(1000).max(60_000).default(2000),
		/**
		Time within which the duty may not change hands to and fro.
		*/
		order_ms: milliseconds.default(3000),
		window_s: seconds.default(5),
		/**
		Time after a window in which the counts of other nodes arrive.
		*/
		settle_ms: milliseconds.default(1500),
		/**
		Fewest replicas of a pool, as a part of the most that are allowed.
		*/
		least_share: z.number().min(0).max(1).default(0.5),
	}).optional(),
	observe: z.strictObject({
		log_level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});
