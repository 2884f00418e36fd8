/**
A run at an endpoint.
*/
export type Run = {
	readonly id: string;
	readonly endpoint: string;
	readonly at: number;
	/**
	Whether the endpoint itself broke the answer off or spoiled it.
	*/
	readonly isSpoiled: boolean;
};
