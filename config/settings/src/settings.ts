import type * as z from 'zod';
import type {settingsSchema} from './settings-schema.ts';

type DeepReadonly<Value> = Value extends ReadonlyArray<infer Item>
	? ReadonlyArray<DeepReadonly<Item>>
	: Value extends Record<string, unknown> ? {readonly [Key in keyof Value]: DeepReadonly<Value[Key]>} : Value;

/**
Validated settings of a node, with defaults filled in.
*/
export type Settings = DeepReadonly<z.infer<typeof settingsSchema>>;
