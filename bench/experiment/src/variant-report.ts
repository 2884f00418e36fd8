import type {Spread} from './spread.ts';

/**
Figures of one variant over its seeds, by their names.
*/
export type VariantReport = {
	readonly name: string;
	readonly seeds: number;
	readonly figures: Readonly<Record<string, Spread>>;
};
