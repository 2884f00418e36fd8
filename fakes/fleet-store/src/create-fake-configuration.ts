const route = {
	host: 'permits.example', 'timeout-ms': 5000, 'target-latency-ms': 500, priority: 1, service: 'desk', 'max-attempts': 2, public: false,
};

/**
 Creates the configuration of a version: a route of every kind, and `/v<version>/`, which no other version has.

 @example
 createFakeConfiguration(3).routes.length; // 5
 */
export function createFakeConfiguration(version: number) {
	return {
		version,
		routes: [
			{
				...route, name: 'safe', prefix: '/safe/', kind: 'safe',
			},
			{
				...route, name: 'unsafe', prefix: '/unsafe/', kind: 'unsafe',
			},
			{
				...route, name: 'stream', prefix: '/stream/', kind: 'streaming',
			},
			{
				...route, name: 'resumable', prefix: '/resumable/', kind: 'streaming', 'stream-resume': true,
			},
			{
				...route, name: `v${version}`, prefix: `/v${version}/`, kind: 'safe',
			},
		],
		services: [{name: 'desk'}],
		tenants: [{name: 'sawmill', 'api-keys': ['key']}],
	};
}
