/**
Complete reply of a plain service.
*/
export type ServiceReply = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};
