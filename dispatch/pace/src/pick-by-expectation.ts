type PickOptions<T> = {
	readonly candidates: readonly T[];
	/**
	Expected time to the answer, in milliseconds.
	*/
	readonly getExpectedMs: (candidate: T) => number;
	/**
	Whether the request can be sent again if its endpoint fails.
	*/
	readonly isRepeatable: boolean;
	/**
	Draws a number from 0 to 1, 1 excluded.
	*/
	readonly random: () => number;
};

/**
Exponents of the expected speed: what cannot be sent again depends more on the best expectations.
*/
const repeatableExponent = 1;
const unrepeatableExponent = 2;

/**
 Picks an endpoint by lot, in proportion to its expected speed. Nodes whose news are equally late would all pick the best one by them,
 and it would be the fullest when their requests arrive.

 @example
 pickByExpectation({candidates: ['a', 'b'], getExpectedMs: name => times[name], isRepeatable: true, random: Math.random}); // 'a'
 */
export function pickByExpectation<T>({candidates, getExpectedMs, isRepeatable, random}: PickOptions<T>): T | undefined {
	const exponent = isRepeatable ? repeatableExponent : unrepeatableExponent;
	const weights = candidates.map(candidate => getExpectedMs(candidate) ** -exponent);
	let rest = random() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, weight] of weights.entries()) {
		rest -= weight;
		if (rest < 0) {
			return candidates[index];
		}
	}

	return candidates.at(-1);
}
