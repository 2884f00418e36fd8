import * as z from 'zod';

/**
The fields of a chat completion that the router reads; all others are forwarded unchanged.
*/
export const chatBodySchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string()})).min(1),
	stream: z.boolean().optional(),
	n: z.literal(1).optional(),
	user: z.string().optional(),
});
