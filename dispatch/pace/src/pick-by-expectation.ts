type PickOptions<T> = {
	readonly candidates: readonly T[];
	/**
	Expected time to the answer, in milliseconds.
	*/
	readonly getExpectedMs: (candidate: T) => number;
	/**
	Whether the request must not be sent a second time: all candidates are compared, not two.
	*/
	readonly isUnrepeatable: boolean;
	/**
	A random number from 0 to 1, 1 excluded.
	*/
	readonly random: () => number;
};

/**
Expected times up to this multiple of the best are alike: the error of a pace that is learned from a few answers.
*/
const alikeFactor = 1.25;

/**
 Picks an endpoint by the expected time to the answer. Two candidates drawn at random are compared, so that nodes with the same late
 news do not all send to the same endpoint. Those that are expected to be alike are drawn by lot.

 @example
 pickByExpectation({candidates: ['a', 'b'], getExpectedMs: name => times[name], isUnrepeatable: false, random: Math.random}); // 'a'
 */
export function pickByExpectation<T>({candidates, getExpectedMs, isUnrepeatable, random}: PickOptions<T>): T | undefined {
	const compared = isUnrepeatable ? candidates : drawTwo(candidates, random);
	const bestMs = Math.min(...compared.map(candidate => getExpectedMs(candidate)));
	const alike = compared.filter(candidate => getExpectedMs(candidate) <= alikeFactor * bestMs);
	return alike[Math.floor(random() * alike.length)];
}

function drawTwo<T>(candidates: readonly T[], random: () => number): readonly T[] {
	if (candidates.length <= 2) {
		return candidates;
	}

	const first = Math.floor(random() * candidates.length);
	const second = (first + 1 + Math.floor(random() * (candidates.length - 1))) % candidates.length;
	return candidates.filter((_candidate, index) => index === first || index === second);
}
