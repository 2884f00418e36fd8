import * as z from 'zod';

/**
The parts of a chat completion that the router reads; all others are passed on as they are.
*/
export const chatBodySchema = z.looseObject({
	model: z.string().min(1),
	messages: z.array(z.looseObject({role: z.string()})).min(1),
	stream: z.boolean().optional(),
	n: z.literal(1).optional(),
	user: z.string().optional(),
});
