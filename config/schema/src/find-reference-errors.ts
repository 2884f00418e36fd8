import type {Configuration} from '@valvesaddle/types';

const maximumFloorSum = 0.3;

/**
 Lists errors between the parts of a configuration: duplicate names, unknown references, and floors whose sum exceeds
 the maximum.

 @example
 findReferenceErrors(configuration); // ['endpoints: "e1" names the unknown pool "drafting"']
 */
export function findReferenceErrors(configuration: Configuration): readonly string[] {
	const {classes, accounts, pools, endpoints, bindings} = configuration;
	const classNames = new Set(classes.map(({name}) => name));
	const accountNames = new Set(accounts.map(({name}) => name));
	const poolNames = new Set(pools.map(({name}) => name));
	return [
		...findDuplicates('classes', classes.map(({name}) => name)),
		...findDuplicates('accounts', accounts.map(({name}) => name)),
		...findDuplicates('keyHashes', accounts.flatMap(({keyHashes}) => keyHashes)),
		...findDuplicates('pools', pools.map(({name}) => name)),
		...findDuplicates('pools with model and region', pools.map(({model, region}) => `${model}@${region}`)),
		...findDuplicates('endpoints', endpoints.map(({id}) => id)),
		...findDuplicates('bindings', bindings.map(({account, pool}) => `${account}:${pool}`)),
		...findUnknown('endpoints', 'pool', poolNames, endpoints.map(({id, pool}) => ({name: id, reference: pool}))),
		...findUnknown('bindings', 'account', accountNames, bindings.map(({account}) => ({name: account, reference: account}))),
		...findUnknown('bindings', 'pool', poolNames, bindings.map(({account, pool}) => ({name: account, reference: pool}))),
		...findUnknown('bindings', 'class', classNames, bindings.flatMap(({account, classes: names}) => names.map(reference => ({name: account, reference})))),
		...checkFloors(configuration),
	];
}

type Reference = {
	readonly name: string;
	readonly reference: string;
};

function findDuplicates(part: string, names: readonly string[]): readonly string[] {
	const seen = new Set<string>();
	const duplicates = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? duplicates : seen).add(name);
	}

	return [...duplicates].map(name => `${part}: "${name}" stands twice`);
}

function findUnknown(part: string, kind: string, known: ReadonlySet<string>, references: readonly Reference[]): readonly string[] {
	return references
		.filter(({reference}) => !known.has(reference))
		.map(({name, reference}) => `${part}: "${name}" names the unknown ${kind} "${reference}"`);
}

function checkFloors({classes}: Configuration): readonly string[] {
	let sum = 0;
	for (const {floor} of classes) {
		sum += floor;
	}

	return sum > maximumFloorSum ? [`classes: floors add up to ${sum.toFixed(2)}, more than ${maximumFloorSum}`] : [];
}
