/** ESLint rule of the house style: a module exports one thing. */

const RULE = {
  meta: { type: 'suggestion', schema: [], messages: { many: 'a module exports one thing; move this to a file of its own' } },
  create (context) {
    let seen = 0
    const count = node => {
      seen++
      if (seen > 1) context.report({ node, messageId: 'many' })
    }
    return { ExportNamedDeclaration: count, ExportDefaultDeclaration: count, ExportAllDeclaration: count }
  }
}

export default { rules: { 'one-export': RULE } }
