/**
Tokens that came under an open grant; also renews it.
*/
export type ProgressReport = {
	readonly grantId: string;
	readonly tokens: number;
	readonly firstTokenMs: number | undefined;
};
