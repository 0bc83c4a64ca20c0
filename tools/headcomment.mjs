/** ESLint rule of the house style: a module begins with a prose comment. */

const RULE = {
  meta: { type: 'suggestion', schema: [], messages: { none: 'begin the module with a doc comment that says what it is for' } },
  create (context) {
    return {
      Program (node) {
        const [first] = context.sourceCode.getAllComments()
        const begins = first !== undefined && first.type === 'Block' && first.range[0] === 0
        if (!begins) context.report({ node, messageId: 'none' })
      }
    }
  }
}

export default { rules: { 'head-comment': RULE } }
