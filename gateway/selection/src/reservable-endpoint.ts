/**
An endpoint that may be reserved.
*/
export type ReservableEndpoint = {
	readonly incarnation: string;
	readonly slots: number;
	/**
	Prefill speed relative to the pool's median.
	*/
	readonly speedFactor: number;
};
