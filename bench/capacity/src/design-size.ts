/**
The size that the project is designed for; source: the users' plan, docs/DEVELOPERS.md.
*/
export const designSize = {
	nodes: 380,
	replicas: 1800,
	pools: 60,
	accounts: 680,
	models: 15,
	classes: 6,
	requestsPerSecond: 4000,
	tokensPerSecond: 2_000_000,
	changesPerDay: 2000,
} as const;
