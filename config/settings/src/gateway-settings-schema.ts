import * as z from 'zod';

const address = z.string().regex(/^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/v, 'expected an IP address and a port, such as "10.0.0.5:7100"');
/**
Seconds, possibly fractional.
*/
const seconds = z.number().positive().max(86_400);
const milliseconds = z.int().min(1).max(86_400_000);

/**
Schema of a gateway node's settings file. Keys ending in `_ms` are in milliseconds, those in `_s` in seconds.
*/
export const gatewaySettingsSchema = z.strictObject({
	node: z.strictObject({
		name: z.string().min(1),
		data_centre: z.string(),
		region: z.string(),
		/**
		Share of one core that the node may use; `core_speed` is the speed of that core relative to a reference core.
		*/
		cpu_share: z.number().positive().default(1),
		core_speed: z.number().positive().default(1),
		/**
		Bandwidth of the VM's network link, in megabits per second.
		*/
		link_mbps: z.number().positive().default(1000),
	}),
	/**
	Metrics are always served on the `ready` address, and also on `metrics` if it is set.
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
		Longer than a typical store outage: a node that has only lost its connection to the store must stay registered.
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
		Number of nodes assumed to share the slack until the actual number is known.
		*/
		assumed_nodes: z.int().min(1).default(8),
	}).prefault({}),
	selection: z.strictObject({
		harm_weight: z.number().min(0).default(1),
		risk_weight: z.number().min(0).default(1),
		reuse_s: seconds.default(10),
		reread_ms_per_token: z.number().min(0).default(0.3),
		/**
		Whether that holds for engines of `prefill_tokens_per_ms`, and less for faster ones.
		*/
		reread_by_rate: z.boolean().default(false),
		prefill_tokens_per_ms: z.number().positive().default(50),
		/**
		Maximum share of a pool's engines that is kept free of long prefills for the streams with the pool's shortest pause objective.
		*/
		reserved_share: z.number().min(0).max(0.8).default(0),
		/**
		Whether the memory of engines is predicted, for pools whose configuration states it.
		*/
		memory_room: z.boolean().default(false),
		/**
		Whether nodes tell each other how requests ended at endpoints, and eject endpoints on the evidence of all.
		*/
		shared_evidence: z.boolean().default(false),
		/**
		Whether endpoints without an engine are chosen by the pace that they show to all nodes.
		*/
		plain_pace: z.boolean().default(false),
	}).prefault({}),
	admission: z.strictObject({
		late_factor: z.number().positive().default(1.3),
		wait_factor: z.number().positive().default(0.5),
		return_factor: z.number().positive().default(1.5),
	}).prefault({}),
	/**
	Shares of contended pools among route priorities and client accounts.
	*/
	sharing: z.strictObject({
		enabled: z.boolean().default(false),
		/**
		Window in which demand is counted.
		*/
		window_s: seconds.min(1).max(60).default(4),
	}).prefault({}),
	/**
	Requests that no endpoint has room for wait at the node, this many and this many megabytes of their bodies at most.
	*/
	waiting: z.strictObject({
		enabled: z.boolean().default(false),
		most: z.int().min(1).max(100_000).default(1000),
		most_mb: z.number().positive().max(4096).default(32),
	}).prefault({}),
	peers: z.strictObject({
		/**
		Timeout after which a peer link without messages is closed: five heartbeat intervals.
		*/
		silence_ms: milliseconds.default(1250),
		news_ms: milliseconds.default(20),
		heartbeat_ms: milliseconds.default(250),
		/**
		Maximum number of nodes for a full mesh; larger fleets use relays.
		*/
		mesh_nodes: z.int().min(1).default(16),
		/**
		Time after which an unreachable relay is tried again.
		*/
		suspect_ms: milliseconds.default(8000),
	}).prefault({}),
	limits: z.strictObject({
		connect_ms: milliseconds.default(400),
		keep_alive_ms: milliseconds.default(4000),
	}).prefault({}),
	/**
	Bounds of what the node holds for callers and endpoints; nothing is bounded if this table is missing.
	*/
	buffers: z.strictObject({
		/**
		Memory of the VM; `most_share` of it is for held bytes.
		*/
		memory_mb: z.number().positive(),
		most_share: z.number().positive().max(1).default(0.25),
		/**
		Share of that up to which nothing is refused, and the most of it for one client account beyond.
		*/
		pressure_share: z.number().min(0).max(1).default(0.5),
		account_share: z.number().positive().max(1).default(0.5),
		wait_ms: milliseconds.default(500),
		/**
		Bytes of an answer that are read ahead of its caller; 0 pauses its endpoint instead.
		*/
		ahead_kb: z.number().min(0).default(256),
		/**
		Less than endpoints wait for a reader.
		*/
		unread_ms: milliseconds.default(1000),
		stuck_s: seconds.default(10),
		/**
		Size of a large body, and how many of them a node has open at one endpoint at most.
		*/
		large_kb: z.number().positive().default(256),
		large_bodies: z.int().min(1).default(4),
	}).optional(),
	drain: z.strictObject({
		grace_s: seconds.default(8),
		/**
		Time that the load balancer needs to remove the node.
		*/
		balancer_ms: milliseconds.default(2500),
	}).prefault({}),
	/**
	Singleton duties, run by one node at a time; disabled if this table is missing.
	*/
	duties: z.strictObject({
		address,
		/**
		Platform names of the offered duties.
		*/
		offered: z.array(z.string()).default([]),
		timeout_ms: milliseconds.default(1200),
		lease_ms: z.int().min(1000).max(60_000).default(2000),
		/**
		Time for which a node that lost the duty does not take it back.
		*/
		order_ms: milliseconds.default(3000),
		window_s: seconds.default(5),
		/**
		Delay after a window for the counts of other nodes to arrive.
		*/
		settle_ms: milliseconds.default(1500),
		/**
		Minimum replicas of a pool, as a share of its maximum.
		*/
		least_share: z.number().min(0).max(1).default(0.5),
	}).optional(),
	observe: z.strictObject({
		log_level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	}).prefault({}),
});
