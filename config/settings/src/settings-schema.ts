import * as z from 'zod';

const name = z.string().regex(/^[\da-z][\d\-.a-z]{0,62}$/v, 'expected 1 to 63 of a-z, 0-9, ".", "-"');
const address = z.string().regex(/^(?:\d{1,3}(?:\.\d{1,3}){3}|\[[\d:a-f]+\]):\d{1,5}$/iv, 'expected an IP address and a port, such as "10.0.0.5:7100"');
const milliseconds = z.int().min(1).max(86_400_000);

const node = z.strictObject({
	id: name,
	data_centre: name,
	region: name,
});

const listen = z.strictObject({
	callers: address.default('127.0.0.1:7100'),
	peers: address.default('127.0.0.1:7200'),
	operators: address.default('127.0.0.1:7300'),
}).prefault({});

const peer = z.strictObject({
	token: z.string().min(16, 'expected at least 16 characters'),
	advertise: address.optional(),
	silence_ms: milliseconds.default(600),
	gossip_ms: milliseconds.default(2000),
	compress: z.boolean().default(false),
});

const platform = z.strictObject({
	kv_urls: z.array(z.url({protocol: /^https?$/v})).min(1),
	kv_timeout_ms: milliseconds.default(1000),
	kv_watch_ms: milliseconds.default(50_000),
	vm_list_url: z.url({protocol: /^https?$/v}).optional(),
	vm_list_poll_ms: milliseconds.default(1000),
});

const operator = z.strictObject({
	name: z.string().min(1),
	role: z.enum(['viewer', 'editor']),
	token_sha256: z.string().regex(/^[\da-f]{64}$/v, 'expected a SHA-256 in hexadecimal'),
});

const observe = z.strictObject({
	log_level: z.enum(['debug', 'info', 'warn', 'error', 'silent']).default('info'),
	statsd: address.optional(),
	trace_exporter: z.enum(['none', 'memory', 'otlp']).default('none'),
	trace_url: z.url().optional(),
	trace_ratio: z.number().min(0).max(1).default(0.01),
}).prefault({});

const limits = z.strictObject({
	body_bytes: z.int().min(1024).max(268_435_456).default(8_388_608),
	connect_ms: milliseconds.default(500),
	first_token_ms: milliseconds.default(60_000),
	pause_ms: milliseconds.default(10_000),
	service_reply_ms: milliseconds.default(30_000),
	abandon_ms: milliseconds.default(10_000),
	keep_answer_ms: milliseconds.default(600_000),
	keep_answer_bytes: z.int().min(0).default(16_777_216),
}).prefault({});

const dispatch = z.strictObject({
	mode: z.enum(['pool', 'alone']).default('pool'),
	warmup_ms: milliseconds.default(500),
	grant_lease_ms: milliseconds.default(6000),
	progress_ms: milliseconds.default(2000),
	load_poll_ms: milliseconds.default(1500),
	suspect_ms: milliseconds.default(3000),
}).prefault({});

const claims = z.strictObject({
	shards: z.int().min(1).max(1024).default(4),
	window_ms: milliseconds.default(3_600_000),
	write_pause_ms: milliseconds.default(20),
}).prefault({});

const drain = z.strictObject({
	grace_ms: milliseconds.default(5000),
}).prefault({});

/**
Schema of a node's settings file.
*/
export const settingsSchema = z.strictObject({
	node, listen, peer, platform, operators: z.array(operator).default([]), observe, limits, dispatch, claims, drain,
});
