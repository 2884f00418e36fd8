/**
The number of replicas that a pool's work asks for.
*/
export type Need = {
	readonly count: number;
	/**
	Replicas that the work needs now.
	*/
	readonly needed: number;
	/**
	Tokens that were to be read in a second, of late.
	*/
	readonly tokensPerS: number;
	/**
	What asked for the count.
	*/
	readonly reason: 'open requests' | 'reading' | 'least';
};
