/**
A call as it was carried out.
*/
export type FakeDutyCall = {
	readonly path: string;
	readonly holder: string;
	readonly token: number;
	readonly body: Readonly<Record<string, unknown>>;
	readonly status: number;
};
