/**
Tokens received under an open grant; also renews the grant.
*/
export type ProgressReport = {
	readonly grantId: string;
	readonly tokens: number;
	readonly firstTokenMs: number | undefined;
};
