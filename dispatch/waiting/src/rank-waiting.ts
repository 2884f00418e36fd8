import {rankClasses, type ClassView} from '@valvesaddle/policy';

/**
 Orders the classes with waiting requests: the most urgent one (priority 0) before all others, then those whose guarantee is due, then
 the others by priority. A class appears once.

 @example
 rankWaiting(views)[0]; // 'chats'
 */
export function rankWaiting(views: readonly ClassView[]): readonly string[] {
	const first = new Set(views.filter(({requestClass}) => requestClass.priority === 0).map(({requestClass}) => requestClass.name));
	const ranked = rankClasses(views).map(({className}) => className);
	return [...new Set([...ranked.filter(name => first.has(name)), ...ranked])];
}
