const route = {
	host: 'permits.example', kind: 'streaming', 'max-attempts': 2, public: true, service: 'drafting', 'timeout-ms': 12_000,
};

/**
 Creates the configuration of the profiled fleet: two routes to model engines, short questions and long drafts.

 @example
 createProfiledConfiguration().routes.length; // 2
 */
export function createProfiledConfiguration() {
	return {
		version: 1,
		routes: [
			{
				...route, name: 'question', prefix: '/question/', 'target-latency-ms': 250, priority: 0, 'gap-aim-ms': 200, 'stream-resume': true,
			},
			{
				...route, name: 'draft', prefix: '/draft/', 'target-latency-ms': 2000, priority: 2, 'gap-aim-ms': 800,
			},
		],
		services: [{name: 'drafting', engine: {slots: 12, 'kv-capacity-tokens': 395_839}}],
		tenants: [],
	};
}
