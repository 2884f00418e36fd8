import type {Configuration} from '@valvesaddle/types';

const largestFloorSum = 0.3;

/**
 Lists what is wrong between the parts of a configuration: repeated names, unknown references, floors that add up to
 too much.

 @example
 findReferenceFaults(configuration); // ['endpoints: "e1" names the unknown pool "drafting"']
 */
export function findReferenceErrors(configuration: Configuration): readonly string[] {
	const {classes, accounts, pools, endpoints, bindings} = configuration;
	const classNames = new Set(classes.map(({name}) => name));
	const accountNames = new Set(accounts.map(({name}) => name));
	const poolNames = new Set(pools.map(({name}) => name));
	return [
		...findRepeated('classes', classes.map(({name}) => name)),
		...findRepeated('accounts', accounts.map(({name}) => name)),
		...findRepeated('keyHashes', accounts.flatMap(({keyHashes}) => keyHashes)),
		...findRepeated('pools', pools.map(({name}) => name)),
		...findRepeated('pools with model and region', pools.map(({model, region}) => `${model}@${region}`)),
		...findRepeated('endpoints', endpoints.map(({id}) => id)),
		...findRepeated('bindings', bindings.map(({account, pool}) => `${account}:${pool}`)),
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

function findRepeated(part: string, names: readonly string[]): readonly string[] {
	const seen = new Set<string>();
	const repeated = new Set<string>();
	for (const name of names) {
		(seen.has(name) ? repeated : seen).add(name);
	}

	return [...repeated].map(name => `${part}: "${name}" stands twice`);
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

	return sum > largestFloorSum ? [`classes: floors add up to ${sum.toFixed(2)}, more than ${largestFloorSum}`] : [];
}
