/**
 Token of a given number: the same on every engine, so that a resumed answer can be checked.

 @example
 makeToken(3); // 't3 '
 */
export function makeToken(number: number): string {
	return `t${number} `;
}
