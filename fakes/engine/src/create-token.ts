/**
 Token of a given number: the same on every engine, so that a resumed answer can be checked.

 @example
 createToken(3); // 't3 '
 */
export function createToken(number: number): string {
	return `t${number} `;
}
