/**
An endpoint that was ejected on the evidence of all nodes, or returned to service, and the evidence for it.
*/
export type EjectionNotice = {
	readonly endpoint: string;
	readonly pool: string;
	/**
	`failing`: it fails while its pool serves; `probe-failed`: it still does; `returned`: probes were answered.
	*/
	readonly reason: 'failing' | 'probe-failed' | 'returned';
	readonly answers: number;
	readonly failures: number;
	/**
	Number of nodes whose requests it is from.
	*/
	readonly nodes: number;
};
