import type {OutdatedNames} from './outdated-names.ts';

/**
Names that are kept: some hours of restarts of a large fleet, while late news come within seconds.
*/
const mostNames = 2000;

/**
 Creates the names of incarnations that are gone.

 @example
 const outdated = createOutdatedNames();
 outdated.add('i-7f~mubbs7i8');
 outdated.has('i-7f~mubbs7i8'); // true
 */
export function createOutdatedNames(): OutdatedNames {
	const names = new Set<string>();

	return {
		add(incarnation) {
			names.delete(incarnation);
			names.add(incarnation);
			if (names.size <= mostNames) {
				return;
			}

			const [oldest = ''] = names;
			names.delete(oldest);
		},
		has: incarnation => names.has(incarnation),
		remove(incarnation) {
			names.delete(incarnation);
		},
	};
}
