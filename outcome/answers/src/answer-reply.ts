/**
Complete HTTP response of a plain service.
*/
export type AnswerReply = {
	readonly status: number;
	readonly contentType: string;
	readonly body: string;
};
